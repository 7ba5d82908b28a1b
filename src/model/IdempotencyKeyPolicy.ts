/** Whether a service takes an `Idempotency-Key` on work that is not idempotent. */
export enum IdempotencyKeyPolicy {
    Ignored = "ignored",
    Optional = "optional",
    Required = "required",
}
