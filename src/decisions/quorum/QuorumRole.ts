/** Role of a control VM in the current term. */
export enum QuorumRole {
    Follower = "follower",
    PreCandidate = "pre-candidate",
    Candidate = "candidate",
    Leader = "leader",
}
