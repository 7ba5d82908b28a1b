/** Payload bytes that a process has sent and received over its links since its start. */
export interface LinkBytes {
    sent: number;
    received: number;
}
