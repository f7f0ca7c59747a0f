import { measureSilence } from "@currantrill/core";
import { type ConfigurationHolder, readClocks } from "../model/configurationHolder.js";

/** Time since the platform read that confirmed the configuration, in whole milliseconds, never rounded down. */
export function computeConfirmationAge({ freshness }: ConfigurationHolder): number | undefined {
    return freshness.confirmedAt === undefined ? undefined : Math.ceil(measureSilence(freshness, readClocks()));
}
