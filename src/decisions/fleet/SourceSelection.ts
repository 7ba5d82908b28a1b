/** Changes to the control VMs from which a proxy receives updates. */
export interface SourceSelection {
    /** Sources to subscribe to, which send their whole state first; may contain current sources, to subscribe again. */
    readonly toSubscribe: readonly string[];
    /** Sources to unsubscribe from. */
    readonly toUnsubscribe: readonly string[];
    /** The source that also sends the loads of the gates, or undefined if there is no source. */
    readonly loadSource: string | undefined;
}
