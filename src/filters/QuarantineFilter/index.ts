import { QuarantineController } from "../../controllers/QuarantineController/index.js";
import { sendLocalReply } from "../../entry/sendLocalReply/index.js";
import { fingerprintRequest } from "../../entry/fingerprintRequest/index.js";
import { Outcome } from "../../model/Outcome.js";
import { RefusalReason } from "../../model/RefusalReason.js";
import { RequestContext } from "../RequestContext.js";
import { RequestFilter } from "../RequestFilter.js";

/** Computes the fingerprint of a request, and refuses requests that are quarantined because they crash backend servers. */
export class QuarantineFilter implements RequestFilter {
    private constructor(private readonly quarantine: QuarantineController) {}

    /** Creates the filter. */
    static create(quarantine: QuarantineController): QuarantineFilter {
        return new QuarantineFilter(quarantine);
    }

    async apply(context: RequestContext, next: () => Promise<void>): Promise<void> {
        context.fingerprint = fingerprintRequest(context);
        if (this.quarantine.isQuarantined(context.fingerprint)) {
            sendLocalReply(context, Outcome.NotRun, RefusalReason.Quarantined, 0);
            return;
        }
        await next();
    }
}
