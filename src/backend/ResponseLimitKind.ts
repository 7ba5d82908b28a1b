/** Limits on what a proxy holds of its backend server, by what they limit. */
export enum ResponseLimitKind {
    Body = "bytes of a response body",
    Head = "bytes of a response head",
    Fields = "header fields of a response",
    Chunks = "chunks of a response",
    /** What the responses on all connections hold together. */
    Buffers = "bytes of incomplete responses",
}
