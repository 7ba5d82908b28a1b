import { BodySink } from "./BodySink.js";

/** Body that its source sends in pieces, no further ahead of its reader than a credit window. */
export interface BodyStream {
    /** Starts to pass the body on. Call it once, before `grant`. */
    start(sink: BodySink): void;
    /** Allows the source to send more, because its reader has taken so many bytes. */
    grant(bytes: number): void;
    /** Ends the body at its source. The sink gets no further call. */
    cancel(): void;
}
