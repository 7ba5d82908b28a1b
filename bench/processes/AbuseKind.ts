/** Kinds of faulty peers of which a run may have any selection. */
export enum AbuseKind {
    /** Endpoints that answer requests and probes with bytes without end, or stop in the middle. */
    Answers = "answers",
    /** Callers that send requests without end, read nothing, trickle, or open connections and stay silent. */
    Callers = "callers",
    /** The same at the ports for heartbeats, readiness, metrics and operators. */
    Ports = "ports",
    /** Peers on the fleet's network that do not know its key, at the ports for links and tunnels. */
    Strangers = "strangers",
    /** Faulty processes of the fleet that know its key. */
    Members = "members",
    /** Starts that find a port held, or the data folder or the settings missing, for a moment. */
    Starts = "starts",
}
