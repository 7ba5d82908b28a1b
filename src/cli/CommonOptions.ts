/** Options that the commands share. */
export interface CommonOptions {
    readonly operator: string;
    readonly token?: string;
    readonly json?: boolean;
}
