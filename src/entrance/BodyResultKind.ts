/** How the reading of a caller's body ended. */
export enum BodyResultKind {
    Whole = "whole",
    /** It is larger than one body may be. */
    TooLarge = "too-large",
    /** The bodies of other requests have used up the memory for bodies. */
    NoRoom = "no-room",
    /** Nothing of it came for too long. */
    Stalled = "stalled",
    /** The caller left while it sent the body. */
    BrokenOff = "broken-off",
}
