/** Payload bytes that a process has sent and received over its links since its start. */
export interface LinkBytes {
    sent: number;
    received: number;
    /** The part of those sent that went to other failure domains. */
    sentToOtherDomains: number;
}
