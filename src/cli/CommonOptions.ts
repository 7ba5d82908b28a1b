/** Options shared by all commands that call the operator API. */
export interface CommonOptions {
    readonly operator: string;
    readonly token?: string;
    readonly json?: boolean;
}
