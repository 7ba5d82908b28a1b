/** Part of a quota grant: the tokens of an organisation that a control VM hands out to a proxy. */
export interface QuotaGrant {
    readonly organisation: string;
    /** Number of tokens, at most as many as were asked for. */
    readonly count: number;
    /** Time until the control VM has the next token, in ms; 0 if it has one. */
    readonly waitMs: number;
}
