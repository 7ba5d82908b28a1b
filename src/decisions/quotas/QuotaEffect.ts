import { QuotaDecision } from "./QuotaDecision.js";
import { QuotaEffectKind } from "./QuotaEffectKind.js";
import { QuotaPath } from "./QuotaPath.js";

/** Action that `QuotaStock` asks its driver to carry out. */
export type QuotaEffect =
    | { readonly kind: QuotaEffectKind.Ask; readonly id: number; readonly path: QuotaPath; readonly organisation: string; readonly count: number }
    | { readonly kind: QuotaEffectKind.Decide; readonly request: number; readonly decision: QuotaDecision }
    /** No control VM replies over a link, so that proxies are needed which pass asks on. */
    | { readonly kind: QuotaEffectKind.FindRelays }
    /** A proxy has not passed a reply on in time. */
    | { readonly kind: QuotaEffectKind.RelaySilent; readonly relay: string }
    /** The proxy starts or stops to grant without contact with a control VM. */
    | { readonly kind: QuotaEffectKind.ContactChanged; readonly hasContact: boolean; readonly localGrants: number }
    /** The refusals of an organisation start or stop. */
    | { readonly kind: QuotaEffectKind.RefusalsChanged; readonly organisation: string; readonly isRefusing: boolean; readonly refusals: number };
