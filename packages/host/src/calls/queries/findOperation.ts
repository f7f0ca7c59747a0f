import type { ServiceObject, ServiceOperation } from "@currantrill/core";

/** Finds the declaration of an operation; the first match counts. A path prefix ends at a slash. */
export function findOperation(service: ServiceObject, method: string, path: string): ServiceOperation | undefined {
    return service.operations.find(operation =>
        (operation.method === "*" || operation.method.toUpperCase() === method) && isBelow(path, operation.path)
    );
}

function isBelow(path: string, prefix: string): boolean {
    return path === prefix || path.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
}
