import { LinkPort } from "./LinkPort.js";
import { Message } from "./Message.js";

/** What a process does with its links. */
export interface LinkHandler {
    /** A link is open and both ends have proved the fleet key. */
    onOpen(link: LinkPort): void;
    /** A message came that is neither a call nor a reply. */
    onMessage(link: LinkPort, message: Message): void;
    /** A call came; the returned message goes back as its reply. */
    onCall(link: LinkPort, message: Message): Promise<Message | undefined>;
    /** A link is gone. */
    onClose(link: LinkPort): void;
}
