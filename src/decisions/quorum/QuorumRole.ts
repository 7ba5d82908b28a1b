/** Part that a control VM plays in its term. */
export enum QuorumRole {
    Follower = "follower",
    PreCandidate = "pre-candidate",
    Candidate = "candidate",
    Leader = "leader",
}
