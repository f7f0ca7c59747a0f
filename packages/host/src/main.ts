#!/usr/bin/env node
/** Entry point of the host daemon `currantrilld`. */
import { collectSignals } from "@currantrill/lifecycle";

// The daemon is loaded after this, because a signal without a listener ends the process, and loading is most of the start.
const signals = collectSignals();
const { runDaemon } = await import("./commands/runDaemon.js");
await runDaemon(process.argv.slice(2), signals);
