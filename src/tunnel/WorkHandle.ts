/** An offer that a gate has not finished with. */
export interface WorkHandle {
    /** Gives the offer up; nothing more is said of it. */
    cancel(): void;
    /** Has the gate hand the offer to the endpoint, if it was granted a slot. */
    go(): void;
}
