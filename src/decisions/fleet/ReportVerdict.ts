/** What became of a report that names an endpoint. */
export enum ReportVerdict {
    /** The report is valid; it has taken effect unless a newer one has. */
    Accepted,
    /** The report names no endpoint of this fleet. */
    Refused,
    /** The report may become valid: the services of the fleet are not known here yet. */
    Undecided,
}
