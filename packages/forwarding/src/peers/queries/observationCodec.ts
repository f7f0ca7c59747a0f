/** Encoding of endpoint observations. */
import type { EndpointObservation } from "../../endpoints/model/endpointObservation.js";

/** An endpoint observation on the wire. */
export type ObservationRow = readonly [
    endpointId: string,
    unresponsiveReports: number,
    failures: number,
    slowdown: number | null,
];

/** Fractional values are rounded to multiples of one over this number. */
const ROUNDING_STEPS = 100;
const round = (value: number): number => Math.round(value * ROUNDING_STEPS) / ROUNDING_STEPS;

export const encodeObservation = (
    { endpointId, unresponsiveReports, failures, slowdown }: EndpointObservation,
): ObservationRow => [
    endpointId,
    unresponsiveReports,
    round(failures),
    slowdown === undefined ? null : round(slowdown),
];

export const decodeObservation = (
    [endpointId, unresponsiveReports, failures, slowdown]: ObservationRow,
): EndpointObservation => ({
    endpointId,
    unresponsiveReports,
    failures,
    ...(slowdown === null ? {} : { slowdown }),
});
