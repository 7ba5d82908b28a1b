import { createHash, type Hash } from "node:crypto";
import { HeaderFields } from "../HeaderFields.js";
import { headerValue } from "../headerValue/index.js";
import { HeaderName } from "../HeaderName.js";

/** Checks that a body has the length and the `Content-Digest` (RFC 9530, sha-256) that its header states. */
export class AnswerVerifier {
    private readonly hash: Hash = createHash("sha256");
    private receivedBytes = 0;

    private constructor(private readonly expectedBytes: number | undefined, private readonly expectedDigest: string | undefined) {}

    /** Creates the verifier of an answer from its header fields. */
    static create(headers: HeaderFields): AnswerVerifier {
        const length = headerValue(headers, HeaderName.ContentLength);
        const digest = /sha-256=:([^:]+):/.exec(headerValue(headers, HeaderName.ContentDigest) ?? "")?.[1];
        return new AnswerVerifier(length === undefined ? undefined : Number(length), digest);
    }

    /** Bytes taken so far. */
    get bytes(): number {
        return this.receivedBytes;
    }

    /** Takes the next piece of the body. */
    update(chunk: Buffer): void {
        this.receivedBytes += chunk.length;
        if (this.expectedDigest !== undefined) {
            this.hash.update(chunk);
        }
    }

    /** Tells whether the body taken is whole and matches; ends the verifier. */
    matches(): boolean {
        const hasLength = this.expectedBytes === undefined || this.expectedBytes === this.receivedBytes;
        return hasLength && (this.expectedDigest === undefined || this.hash.digest("base64") === this.expectedDigest);
    }
}
