const QUOTE = 34;
const COMMA = 44;
const OPENING_BRACKET = 91;
const BACKSLASH = 92;
const OPENING_BRACE = 123;

/**
 * Parses JSON that has at most a number of values. Each value takes memory of its own, up to a hundred times that of its text, so
 * that the size of a text does not bound the memory of what it is parsed into.
 *
 * @param text - JSON text.
 * @param maxValues - Maximum number of values, counted by commas and by opening brackets and braces.
 * @returns The parsed value.
 * @throws Error if there are more values; SyntaxError if the text is not JSON.
 * @example
 * parseBoundedJson('{"a":[1,2]}', 10); // { a: [1, 2] }
 */
export function parseBoundedJson(text: string, maxValues: number): unknown {
    let values = 0;
    let isInString = false;
    for (let index = 0; index < text.length; index += 1) {
        const code = text.charCodeAt(index);
        if (isInString) {
            if (code === BACKSLASH) {
                index += 1;
            }
            isInString = code !== QUOTE;
        }
        else if (code === QUOTE) {
            isInString = true;
        }
        else if (code === COMMA || code === OPENING_BRACKET || code === OPENING_BRACE) {
            values += 1;
            if (values > maxValues) {
                throw new Error(`more than ${maxValues} values`);
            }
        }
    }
    return JSON.parse(text);
}
