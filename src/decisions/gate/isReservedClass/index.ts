import { ServiceClass } from "../../../model/ServiceClass.js";

/**
 * Tells whether work of a class may use the reserved slots of an endpoint.
 *
 * @param serviceClass - Class of the work.
 * @returns True for submissions and orders.
 * @example
 * isReservedClass(ServiceClass.Order); // true
 */
export function isReservedClass(serviceClass: ServiceClass): boolean {
    return serviceClass === ServiceClass.Submission || serviceClass === ServiceClass.Order;
}
