import { Message } from "./Message.js";

/** Frame of a link: a message, and the number that matches a reply to its call. */
export interface Envelope {
    readonly message: Message;
    /** Number of the call; set on a message that expects a reply. */
    readonly call?: number;
    /** Number of the call that this message replies to; set on a reply. */
    readonly reply?: number;
}
