/** Part of a quota request: a proxy asks a control VM for tokens of an organisation. */
export interface QuotaAsk {
    readonly organisation: string;
    readonly count: number;
}
