/** An offer that a gate has not finished with. */
export interface WorkHandle {
    /** Gives the offer up; nothing more is said of it. */
    cancel(): void;
}
