/** Path on which a proxy can ask a control VM for tokens. */
export interface QuotaPath {
    /** Control VM. */
    readonly vm: string;
    /** Proxy that passes asks and replies on, or undefined if there is a link to the control VM. */
    readonly relay?: string | undefined;
}
