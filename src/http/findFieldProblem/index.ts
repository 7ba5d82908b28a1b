import { HeaderList } from "../../model/HeaderList.js";
import { quoteExcerpt } from "../../model/quoteExcerpt/index.js";

/** A token (RFC 9110, section 5.6.2). */
const NAME = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/;
/** Visible characters, spaces and tabs, and the bytes from 0x80 of other encodings (RFC 9110, section 5.5). */
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/**
 * Finds a header field that must not be forwarded: its name is not a token, or its value has a control character, which a
 * recipient could take for the end of the field.
 *
 * @param headers - Header fields; each character of a value stands for one byte.
 * @returns The problem, or undefined if there is none.
 * @example
 * findFieldProblem([["Server", "a\u0001b"]]); // "invalid value of the header field \"Server\""
 */
export function findFieldProblem(headers: HeaderList): string | undefined {
    const invalidName = headers.find(([name]) => !NAME.test(name));
    if (invalidName !== undefined) {
        return `invalid name of the header field ${quoteExcerpt(invalidName[0])}`;
    }
    const invalidValue = headers.find(([, value]) => !VALUE.test(value));
    return invalidValue === undefined ? undefined : `invalid value of the header field ${quoteExcerpt(invalidValue[0])}`;
}
