/** Why a waiting request of an organisation was refused. */
export enum DisplacementCause {
    /** More urgent requests or less served organisations have come since, so that it cannot start in time. */
    Overtaken = "overtaken",
    /** Its deadline cannot be met, because the endpoint is slower than expected. */
    Overdue = "overdue",
}
