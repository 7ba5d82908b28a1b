/** Moving count of the starts of one kind of request. */
export interface StartCount {
    readonly organisation: string;
    readonly organisationPriority: number;
    readonly priority: number;
    readonly count: number;
}
