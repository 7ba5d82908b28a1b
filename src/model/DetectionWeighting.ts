/** Which error of failure detection the operator of a deployment minds more. */
export enum DetectionWeighting {
    Fast = "fast",
    Careful = "careful",
}
