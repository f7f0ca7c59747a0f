import type { EndpointEntry, ServingConfiguration } from "../configuration/model/servingConfiguration.js";

/** A row that could not be decoded. */
export interface RowFinding {
    /** Place in the row, such as `routes[2].prefix`. */
    readonly path: string;
    readonly found: string;
}

export type Decoded<T> =
    | { readonly ok: true; readonly value: T; }
    | { readonly ok: false; readonly finding: RowFinding; };

/** Names of the tables, and decoders of their rows. */
export interface PlatformRows {
    readonly configurationTable: string;
    readonly configurationKey: string;
    readonly endpointTable: string;
    /** Table in which hosts publish their addresses. */
    readonly hostTable: string;
    decodeConfiguration(value: Buffer): Decoded<ServingConfiguration>;
    decodeEndpoint(key: string, value: Buffer): Decoded<EndpointEntry>;
}
