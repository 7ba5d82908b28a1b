import { Message } from "./Message.js";

/** Frame of a link: a message, and the numbers that tie a reply to its call. */
export interface Envelope {
    readonly message: Message;
    /** Set on a call that wants a reply. */
    readonly call?: number;
    /** Set on a reply: the number of the call. */
    readonly reply?: number;
}
