/** Step of the program in which an error occurred; part of every FleetError. */
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
