/** What one process of an endpoint states about itself in its responses. */
import type Logger from "bunyan";
import type { EndpointNotice } from "../../ports/endpointProtocol.js";

/** What a response answers, as written to the log. */
export type NoticeSource = "request" | "order" | "report";

export interface EndpointNotices {
    /** Records the notice of a response to this host. */
    readonly record: (notice: EndpointNotice, source: NoticeSource) => void;
    /** Returns the requests a second that the endpoint takes from all hosts together, `undefined` without a limit. */
    readonly getRateLimit: () => number | undefined;
}

export interface EndpointNoticesOptions {
    readonly endpointId: string;
    readonly log: Logger;
}

/** Creates the notices of an endpoint that has not responded yet. */
export function createEndpointNotices({ endpointId, log }: EndpointNoticesOptions): EndpointNotices {
    let requestsPerSecond: number | undefined;
    return {
        record: (notice, source) => {
            if (notice.invalidLimit !== undefined || notice.requestsPerSecond === requestsPerSecond) {
                return;
            }
            log.info(
                {
                    endpoint: endpointId,
                    requestsPerSecond: notice.requestsPerSecond,
                    previous: requestsPerSecond,
                    source,
                },
                "endpoints: rate limit changed",
            );
            ({ requestsPerSecond } = notice);
        },
        getRateLimit: () => requestsPerSecond,
    };
}
