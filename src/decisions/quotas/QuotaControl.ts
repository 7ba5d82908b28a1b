/** A control VM that a proxy can ask for tokens. */
export interface QuotaControl {
    readonly vm: string;
    readonly failureDomain: string;
}
