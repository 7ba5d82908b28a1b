import { BodyVerifier } from "../../http/BodyVerifier/index.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { ReadyAnswer } from "../ReadyAnswer.js";

const STATUS_OK = 200;
const STATUS_PARTIAL = 206;

/** An answer that is being delivered to a caller. Decides whether an answer of another endpoint can resume it. */
export class AnswerDelivery {
    readonly verifier: BodyVerifier;

    private constructor(private readonly method: string, private readonly firstAnswer: ReadyAnswer) {
        this.verifier = BodyVerifier.create(firstAnswer.headers);
    }

    /**
     * Creates a delivery.
     *
     * @param method - HTTP method of the request.
     * @param firstAnswer - Answer whose head was sent to the caller.
     */
    static create(method: string, firstAnswer: ReadyAnswer): AnswerDelivery {
        return new AnswerDelivery(method, firstAnswer);
    }

    /** True if the rest can be requested: a full answer to a GET with a strong entity tag (RFC 9110, section 8.8.3). */
    get isResumable(): boolean {
        return this.method === "GET" && this.firstAnswer.status === STATUS_OK && this.strongTag !== undefined;
    }

    /** Header fields of a range request that is fulfilled only if the representation is unchanged. */
    resumeHeaders(): Record<string, string> {
        return {
            [HeaderName.Range]: `bytes=${this.verifier.verifiedBytes}-`,
            [HeaderName.IfRange]: this.strongTag ?? "",
        };
    }

    /** Tells whether an answer is exactly the rest of this delivery. */
    canResumeWith(answer: ReadyAnswer): boolean {
        const range = headerValue(answer.headers, HeaderName.ContentRange) ?? "";
        return answer.status === STATUS_PARTIAL
            && headerValue(answer.headers, HeaderName.ETag) === this.strongTag
            && range.startsWith(`bytes ${this.verifier.verifiedBytes}-`);
    }

    private get strongTag(): string | undefined {
        const entityTag = headerValue(this.firstAnswer.headers, HeaderName.ETag);
        return entityTag?.startsWith("\"") === true ? entityTag : undefined;
    }
}
