#!/usr/bin/env node
/** The operator command. */
import { runApplication } from "./commands/runApplication.js";

await runApplication(process.argv.slice(2));
