/** A control VM that is linked and heard, as a source of news. */
export interface NewsHub {
    readonly vm: string;
    readonly failureDomain: string;
    /** Position in the log up to which it has applied changes of the configuration, as far as is known. */
    readonly position: number;
}
