/** Control VMs that a proxy takes its news from. */
export interface NewsChoice {
    /** Asked for their news from now on, the whole state included; may be asked again. */
    readonly start: readonly string[];
    /** Not needed any more. */
    readonly stop: readonly string[];
    /** The one that also sends the loads of the gates, or undefined if there is none. */
    readonly loadsFrom: string | undefined;
}
