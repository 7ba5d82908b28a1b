/** Role of a daemon process. */
export enum Role {
    Proxy = "proxy",
    Control = "control",
}
