import { GateRecord } from "../GateRecord.js";

/**
 * Copies the fields of a gate record. Any other field that another process has sent is not kept: it could be one that cannot be
 * encoded when the record is passed on.
 *
 * @param record - A record that `isGateRecord` has accepted.
 * @returns The record without other fields.
 * @example
 * selectRecordFields({ ...record, size: 2n ** 90n }); // record
 */
export function selectRecordFields({ vm, failureDomain, gateAddress, run, sequence, isOpen, endpoint, limitPerSecond }: GateRecord): GateRecord {
    return {
        vm,
        failureDomain,
        gateAddress,
        run,
        sequence,
        isOpen,
        endpoint: endpoint && {
            id: endpoint.id,
            bornAtMs: endpoint.bornAtMs,
            sequence: endpoint.sequence,
            service: endpoint.service,
            phase: endpoint.phase,
            slots: endpoint.slots,
            coldRemainingMs: endpoint.coldRemainingMs,
        },
        limitPerSecond,
    };
}
