import type { FailureDomainId } from "@currantrill/protocol";
import type { EndpointEntry, ServingConfiguration } from "../configuration/model/servingConfiguration.js";

/** Reason why a row could not be decoded. */
export interface RowFinding {
    /** Place in the row, such as `routes[2].prefix`. */
    readonly path: string;
    /** What was found there. */
    readonly found: string;
}

/** Result of decoding a row. */
export type Decoded<T> =
    | { readonly ok: true; readonly value: T; }
    | { readonly ok: false; readonly finding: RowFinding; };

/** An evacuation that a row of the operator's table names. */
export interface DecodedEvacuation {
    readonly domain: FailureDomainId;
    /** Set if the row's content could not be read; the domain is evacuated nevertheless. */
    readonly finding?: RowFinding;
}

/** Names of the platform's tables, and decoders of their rows. */
export interface PlatformRows {
    /** The operator's table: the configuration and evacuations. */
    readonly configurationTable: string;
    /** Key of the row that holds the serving configuration. */
    readonly configurationKey: string;
    readonly endpointTable: string;
    /** Table in which hosts publish their addresses for peers. */
    readonly hostTable: string;
    /** Table in which hosts keep the parts of prompts that crash endpoints. */
    readonly quarantineTable: string;
    decodeConfiguration(value: Buffer): Decoded<ServingConfiguration>;
    decodeEndpoint(key: string, value: Buffer): Decoded<EndpointEntry>;
    /**
     * Decodes a row of the operator's table, which has no value if it was removed. Returns `undefined` if its key names
     * no evacuation.
     */
    decodeEvacuation(key: string, value: Buffer | undefined): DecodedEvacuation | undefined;
}
