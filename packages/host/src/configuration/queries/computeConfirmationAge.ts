import { measureConfirmationAge } from "@currantrill/core";
import { readClocks } from "@currantrill/protocol";
import type { ConfigurationState } from "../model/configurationState.js";

/**
 * Time since the platform read that last confirmed the configuration, in whole milliseconds. It is rounded up, so that
 * the age is never understated; undefined without a confirmation.
 */
export function computeConfirmationAge({ freshness }: ConfigurationState): number | undefined {
    return freshness.confirmedAt === undefined ? undefined : Math.ceil(measureConfirmationAge(freshness, readClocks()));
}
