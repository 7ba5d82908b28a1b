/** Lifecycle state of a member process, as announced by the member itself. */
export enum MemberState {
    Serving = "serving",
    Draining = "draining",
    Left = "left",
}
