#!/usr/bin/env node
/** Entry point of the `currantrill` command for operators. */
import { runApplication } from "./commands/runApplication.js";

await runApplication(process.argv.slice(2));
