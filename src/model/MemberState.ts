/** Life cycle of a member process, as the member itself announces it. */
export enum MemberState {
    Serving = "serving",
    Draining = "draining",
    Left = "left",
}
