/** Step at which an error arose; carried by every FleetError. */
export enum Step {
    Settings = "settings",
    Manifest = "manifest",
    Listen = "listen",
    Link = "link",
    Handshake = "handshake",
    Storage = "storage",
    Apply = "apply",
    Announce = "announce",
    Attempt = "attempt",
    Invariant = "invariant",
}
