import { createHash, type Hash } from "node:crypto";
import { HeaderFields } from "../HeaderFields.js";
import { HeaderName } from "../HeaderName.js";
import { headerValue } from "../headerValue/index.js";

/** Verifies a body against the `Content-Length` and the `Content-Digest` (RFC 9530, sha-256) of its header section. */
export class BodyVerifier {
    private readonly hash: Hash = createHash("sha256");
    private receivedBytes = 0;

    private constructor(private readonly expectedBytes: number | undefined, private readonly expectedDigest: string | undefined) {}

    /** Creates a verifier from the header fields of a response. */
    static create(headers: HeaderFields): BodyVerifier {
        const length = headerValue(headers, HeaderName.ContentLength);
        const digest = /sha-256=:([^:]+):/.exec(headerValue(headers, HeaderName.ContentDigest) ?? "")?.[1];
        return new BodyVerifier(length === undefined ? undefined : Number(length), digest);
    }

    /** Number of bytes passed to `update` so far. */
    get verifiedBytes(): number {
        return this.receivedBytes;
    }

    /** Adds the next chunk of the body. */
    update(chunk: Buffer): void {
        this.receivedBytes += chunk.length;
        if (this.expectedDigest !== undefined) {
            this.hash.update(chunk);
        }
    }

    /** Returns whether the body is complete and matches its header. Call it once, after the last chunk. */
    matches(): boolean {
        const hasLength = this.expectedBytes === undefined || this.expectedBytes === this.receivedBytes;
        return hasLength && (this.expectedDigest === undefined || this.hash.digest("base64") === this.expectedDigest);
    }
}
