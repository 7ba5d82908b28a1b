import { GaugeSource } from "../../metrics/GaugeSource.js";
import { readMemoryUsage } from "../readMemoryUsage/index.js";

/**
 * Returns gauges of the memory of this process.
 *
 * @returns The gauges, in bytes.
 * @example
 * memoryGauges().forEach((gauge) => metrics.addGauge(gauge));
 */
export function memoryGauges(): readonly GaugeSource[] {
    return [
        { name: "heap_used_bytes", help: "Bytes in use on the JavaScript heap", read: () => readMemoryUsage().heapUsedBytes },
        { name: "heap_limit_bytes", help: "Size at which the JavaScript heap is full", read: () => readMemoryUsage().heapLimitBytes },
        { name: "external_bytes", help: "Bytes outside of the heap that its objects hold", read: () => readMemoryUsage().externalBytes },
        { name: "resident_bytes", help: "Bytes that the kernel counts for the process", read: () => readMemoryUsage().residentBytes ?? Number.NaN },
    ];
}
