import { BodyVerifier } from "../../http/BodyVerifier/index.js";
import { headerValue } from "../../http/headerValue/index.js";
import { HeaderName } from "../../http/HeaderName.js";
import { ReadyAnswer } from "../ReadyAnswer.js";

const STATUS_OK = 200;
const STATUS_PARTIAL = 206;

/** The answer that is being delivered to a caller, and whether another server's answer may continue it. */
export class DeliveredAnswer {
    readonly verifier: BodyVerifier;

    private constructor(private readonly method: string, private readonly first: ReadyAnswer) {
        this.verifier = BodyVerifier.create(first.headers);
    }

    /**
     * Creates the record of a delivery.
     *
     * @param method - Method of the request.
     * @param first - Answer whose head went to the caller.
     */
    static create(method: string, first: ReadyAnswer): DeliveredAnswer {
        return new DeliveredAnswer(method, first);
    }

    /** True if the rest can be asked for: a whole GET answer with a strong entity tag (RFC 9110, section 8.8.3). */
    get isResumable(): boolean {
        return this.method === "GET" && this.first.status === STATUS_OK && this.strongTag !== undefined;
    }

    /** Header fields that ask for the rest only if it belongs to the same representation. */
    resumeHeaders(): Record<string, string> {
        return {
            [HeaderName.Range]: `bytes=${this.verifier.verifiedBytes}-`,
            [HeaderName.IfRange]: this.strongTag ?? "",
        };
    }

    /** Tells whether an answer is the rest of this one. */
    isContinuedBy(answer: ReadyAnswer): boolean {
        const range = headerValue(answer.headers, HeaderName.ContentRange) ?? "";
        return answer.status === STATUS_PARTIAL
            && headerValue(answer.headers, HeaderName.ETag) === this.strongTag
            && range.startsWith(`bytes ${this.verifier.verifiedBytes}-`);
    }

    private get strongTag(): string | undefined {
        const tag = headerValue(this.first.headers, HeaderName.ETag);
        return tag?.startsWith("\"") === true ? tag : undefined;
    }
}
