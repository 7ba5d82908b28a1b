/** Organisation of the soak. */
export interface SoakOrganisation {
    readonly name: string;
    readonly apiKey: string;
    /** Requests per second that all proxies accept; 0 without a limit. */
    readonly ratePerSecond: number;
    readonly burst: number;
}
