/** Relative change of a limit that is worth a message to the whole fleet. */
const MIN_RELATIVE_CHANGE = 0.1;

/**
 * Checks whether the limit of an endpoint has changed enough to be published: it began, ended, or moved by a tenth.
 *
 * @param published - Published limit in requests per second, or undefined if none is published.
 * @param perSecond - Current limit, or undefined without one.
 * @returns True if the limit should be published.
 * @example
 * isSignificantLimitChange(undefined, 3); // true
 */
export function isSignificantLimitChange(published: number | undefined, perSecond: number | undefined): boolean {
    if (published === undefined || perSecond === undefined) {
        return published !== perSecond;
    }
    return Math.abs(perSecond - published) > MIN_RELATIVE_CHANGE * published;
}
