import type { WorkspaceId } from "@currantrill/protocol";
import { createHash } from "node:crypto";

/** What makes a request the same when it comes again, under another id and at any host. */
export interface IdentifiedRequest {
    readonly method: string;
    /** Name of the virtual host, without a port, in lower case. */
    readonly host: string;
    /** Path and query. */
    readonly target: string;
    readonly workspace?: WorkspaceId;
    readonly body: Buffer;
}

/** Identity of a request as a whole. Each digest is computed once, when it is first needed. */
export interface RequestIdentity {
    /** Digest of all but the contents of the body, of which it has the length: cheap for a body of any size. */
    readonly getHeadDigest: () => string;
    /**
     * Digest of the whole request, which begins with that of the head. It is wide enough that no caller can find another
     * request with the same one.
     */
    readonly getDigest: () => string;
    /** Returns that digest if it has been computed. */
    readonly getKnownDigest: () => string | undefined;
}

const HEAD_DIGEST_BYTES = 6;
const BODY_DIGEST_BYTES = 16;

/** Creates the identity of a request. Its id, its time limit and its other headers are not part of it. */
export function createRequestIdentity(request: IdentifiedRequest): RequestIdentity {
    const { method, host, target, workspace, body } = request;
    let head: string | undefined;
    let digest: string | undefined;
    const describeHead = (): string => JSON.stringify([method, host, target, workspace ?? null, body.length]);
    const getHeadDigest = (): string => head ??= computeDigest([describeHead()], HEAD_DIGEST_BYTES);
    return {
        getHeadDigest,
        getKnownDigest: () => digest,
        getDigest: () =>
            digest ??= `${getHeadDigest()}.${computeDigest([describeHead(), "\n", body], BODY_DIGEST_BYTES)}`,
    };
}

function computeDigest(data: readonly (string | Buffer)[], bytes: number): string {
    const hash = createHash("sha256");
    data.forEach(each => hash.update(each));
    return hash.digest().subarray(0, bytes).toString("base64url");
}
