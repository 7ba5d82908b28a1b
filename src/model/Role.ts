/** Role that a daemon process plays. */
export enum Role {
    Proxy = "proxy",
    Control = "control",
}
